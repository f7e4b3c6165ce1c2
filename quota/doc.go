// SPDX-License-Identifier: Apache-2.0

// Package quota divides the limit of a client account among the cells of a deployment, so that what the
// account runs in all cells together stays within it. It is pure.
//
// Each cell holds a number of shares of every account, at first the same number. It may run as much of
// the account as its shares are of all shares. A cell that needs more asks the others, which give shares
// that they do not use. Nobody has to be asked before an ordinary start.
//
// Shares are counted in a Ledger for each cell. It holds how many shares the cell has ever given to each
// other cell, and how many it knows to have been given by each. Both numbers only rise. A cell counts what
// it gives as gone at once, and tells the taker only once its ledger is stored; the taker may use it from
// then on. Whatever is lost, late, repeated or out of date then, no share is in two cells: at the worst it
// is in none until the cells exchange their numbers again. A number of shares holds for every value of the
// limit, so that a change of the limit, which comes to the cells at different moments, moves no shares.
package quota
