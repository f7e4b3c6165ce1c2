// SPDX-License-Identifier: Apache-2.0

// Package cluster puts together an entry instance that runs on a platform with
// a store of rows and workers that take orders.
//
// Every instance is equal. It answers for every job of every hall, and at most
// one instance of a hall holds the hall's seat and drives its cell: it decides
// which of the hall's workers runs what. A job belongs to one hall, so that a
// hall that is cut off goes on with all that it needs.
//
// Instances greet each other. A greeting says who its sender is, whether it
// reaches the store, and, from the owner of a cell, how full that is. Nothing
// is decided by greetings alone: they say whom to ask. Who holds a seat is
// decided by the store, and what runs by the workers.
package cluster
