// SPDX-License-Identifier: Apache-2.0

package config

import (
	"context"
	"crypto/sha256"

	"dewpass.org/cell"
	"dewpass.org/flow"
	"dewpass.org/kind"
)

// KeyHash is the hash of an API key. Keys are stored and compared as hashes, so that the
// duration of a look-up reveals nothing about a key.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// AddAccount adds a client account with its keys. Errors describe the invalid account but never
// contain a key.
func (c *Config) AddAccount(a cell.Account, keys []KeyHash) error {
	if a.Name == "" {
		return kind.New(kind.Damaged, "a client account has no name")
	}
	for _, other := range c.Accounts {
		if other.Name == a.Name {
			return kind.New(kind.Damaged, "the client account "+a.Name+" is listed twice")
		}
	}
	if a.Weight < 0 {
		return kind.New(kind.Damaged, "the weight of the client account "+a.Name+" is negative")
	}
	for _, limit := range a.Limit {
		if limit < 0 {
			return kind.New(kind.Damaged, "a limit of the client account "+a.Name+" is negative")
		}
	}
	if c.accountByKey == nil {
		c.accountByKey = make(map[KeyHash]string)
	}
	for _, k := range keys {
		if name, taken := c.accountByKey[k]; taken && name != a.Name {
			return kind.New(kind.Damaged, "the client accounts "+name+" and "+a.Name+" have a key in common")
		}
		c.accountByKey[k] = a.Name
	}
	c.Accounts = append(c.Accounts, a)
	return nil
}

// Authorize returns the client account of a call to a queue, "" if the key is missing or
// unknown. ok is false if the queue requires a known key.
func (c *Config) Authorize(q *Queue, key string) (account string, ok bool) {
	if key != "" {
		account, ok = c.accountByKey[HashKey(key)]
	}
	return account, ok || q.Open || !c.KeysRequired
}

// CellAccounts returns the accounts for each of a number of cells, with weights divided equally among
// them. Limits hold for all cells together.
func (c *Config) CellAccounts(cells int) []cell.Account {
	out := make([]cell.Account, len(c.Accounts))
	for i, a := range c.Accounts {
		a.Weight /= float64(max(cells, 1))
		out[i] = a
	}
	return out
}

// CheckGangs returns an error if a gang of a job exceeds the limit of its account, so that it
// could never run.
func (c *Config) CheckGangs(spec *flow.Spec) error {
	for _, a := range c.Accounts {
		if a.Name != spec.Account {
			continue
		}
		for i := range spec.Steps {
			if st := &spec.Steps[i]; st.Gang && !a.LimitCovers(st.Demand.Scale(int64(st.Count))) {
				return kind.At(kind.BadRequest, "/steps", "a gang exceeds the limit of the client account")
			}
		}
	}
	return nil
}

type callerKey struct{}

// WithCaller returns a context for a call by a client account, "" for a call without a known
// key.
func WithCaller(ctx context.Context, account string) context.Context {
	return context.WithValue(ctx, callerKey{}, account)
}

// Caller returns the client account on whose behalf ctx is. ok is false if there is none, as
// for calls that an instance makes for itself.
func Caller(ctx context.Context) (account string, ok bool) {
	account, ok = ctx.Value(callerKey{}).(string)
	return account, ok
}
