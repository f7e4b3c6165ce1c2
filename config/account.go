// SPDX-License-Identifier: Apache-2.0

package config

import (
	"context"
	"crypto/sha256"

	"dewpass.org/cell"
	"dewpass.org/flow"
	"dewpass.org/kind"
)

// KeyHash is the hash of a key of a client account. Keys are kept and compared as hashes: the
// time that a look-up takes then tells nothing of a key.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// AddAccount adds a client account with its keys. The error says what is wrong with it, and never
// names a key.
func (c *Config) AddAccount(a cell.Account, keys []KeyHash) error {
	if a.Name == "" {
		return kind.New(kind.Damaged, "a client account has no name")
	}
	for _, other := range c.Accounts {
		if other.Name == a.Name {
			return kind.New(kind.Damaged, "the client account "+a.Name+" is there twice")
		}
	}
	if a.Weight < 0 {
		return kind.New(kind.Damaged, "the weight of the client account "+a.Name+" is below zero")
	}
	for _, limit := range a.Limit {
		if limit < 0 {
			return kind.New(kind.Damaged, "a limit of the client account "+a.Name+" is below zero")
		}
	}
	if c.keys == nil {
		c.keys = make(map[KeyHash]string)
	}
	for _, k := range keys {
		if name, taken := c.keys[k]; taken && name != a.Name {
			return kind.New(kind.Damaged, "the client accounts "+name+" and "+a.Name+" have a key in common")
		}
		c.keys[k] = a.Name
	}
	c.Accounts = append(c.Accounts, a)
	return nil
}

// Authorize returns the account of a call to a queue by its key, "" for a call without a known
// key to a queue that needs none. ok is false if the queue needs a known key.
func (c *Config) Authorize(q *Queue, key string) (account string, ok bool) {
	if key != "" {
		account, ok = c.keys[HashKey(key)]
	}
	return account, ok || q.Open || !c.Keyed
}

// CellAccounts returns the accounts as each of some cells takes them: with an equal part of
// their limits and shares.
func (c *Config) CellAccounts(cells int) []cell.Account {
	parts := int64(max(cells, 1))
	out := make([]cell.Account, len(c.Accounts))
	for i, a := range c.Accounts {
		a.Weight /= float64(parts)
		for d := range a.Limit {
			a.Limit[d] /= parts
		}
		out[i] = a
	}
	return out
}

// CheckGangs returns an error if a gang of a job is larger than its account may ever have running.
func (c *Config) CheckGangs(spec *flow.Spec) error {
	for _, a := range c.Accounts {
		if a.Name != spec.Account {
			continue
		}
		for i := range spec.Steps {
			if st := &spec.Steps[i]; st.Gang && !a.Holds(st.Demand.Scale(int64(st.Count))) {
				return kind.At(kind.BadRequest, "/steps", "a gang is larger than the client account may have running")
			}
		}
	}
	return nil
}

type callerKey struct{}

// WithCaller returns a context of a call by a client account, "" for one without a known key.
func WithCaller(ctx context.Context, account string) context.Context {
	return context.WithValue(ctx, callerKey{}, account)
}

// Caller returns the client account whose call ctx is of. ok is false if it is nobody's, as where
// an instance asks for itself.
func Caller(ctx context.Context) (account string, ok bool) {
	account, ok = ctx.Value(callerKey{}).(string)
	return account, ok
}
