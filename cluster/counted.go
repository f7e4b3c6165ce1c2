// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"context"

	"dewpass.org/driver"
	"dewpass.org/flow"
	"dewpass.org/internal/clock"
	"dewpass.org/rows"
	"dewpass.org/telemetry"
)

// countedStore counts the calls to a store and their latency.
type countedStore struct {
	rows.Store
	calls   *telemetry.CallMetrics
	traffic *storeTraffic
	bad     *badRows
}

func (s countedStore) Tx(ctx context.Context, t rows.Tx) (rows.Result, error) {
	begun := clock.Now()
	res, err := s.Store.Tx(ctx, t)
	s.calls.Record("tx", begun, err)
	s.traffic.note(storeUse{"tx", tableOf(&t)}, res.Bytes, err)
	return res, err
}

func (s countedStore) Get(ctx context.Context, r rows.Range) (rows.Page, error) {
	begun := clock.Now()
	page, err := s.Store.Get(ctx, r)
	s.calls.Record("get", begun, err)
	s.traffic.note(storeUse{"get", r.Table}, page.Bytes, err)
	s.bad.note(page.BadRows)
	return page, err
}

func (s countedStore) Feed(ctx context.Context, f rows.FeedQuery) (rows.Page, error) {
	begun := clock.Now()
	page, err := s.Store.Feed(ctx, f)
	s.calls.Record("feed", begun, err)
	s.traffic.note(storeUse{"feed", f.Table}, page.Bytes, err)
	s.bad.note(page.BadRows)
	return page, err
}

// countedWorkers counts the calls to workers and their latency.
type countedWorkers struct {
	driver.Workers
	calls *telemetry.CallMetrics
}

func (w countedWorkers) Start(ctx context.Context, o driver.StartOrder) (driver.StartAnswer, error) {
	begun := clock.Now()
	a, err := w.Workers.Start(ctx, o)
	w.calls.Record("start", begun, err)
	return a, err
}

func (w countedWorkers) Stop(ctx context.Context, o driver.StopOrder) error {
	begun := clock.Now()
	err := w.Workers.Stop(ctx, o)
	w.calls.Record("stop", begun, err)
	return err
}

func (w countedWorkers) Pace(ctx context.Context, o driver.PaceOrder) error {
	begun := clock.Now()
	err := w.Workers.Pace(ctx, o)
	w.calls.Record("pace", begun, err)
	return err
}

func (w countedWorkers) Hold(ctx context.Context, o driver.HoldOrder) (driver.HoldAnswer, error) {
	begun := clock.Now()
	a, err := w.Workers.Hold(ctx, o)
	w.calls.Record("hold", begun, err)
	return a, err
}

// countedAdvisor counts the questions to the policy and their latency.
type countedAdvisor struct {
	driver.Advisor
	calls *telemetry.CallMetrics
}

func (s countedAdvisor) Advise(ctx context.Context, step flow.StepID, workers []string) (driver.Tickets, error) {
	begun := clock.Now()
	t, err := s.Advisor.Advise(ctx, step, workers)
	s.calls.Record("advise", begun, err)
	return t, err
}

// counted returns the services with their calls counted.
func counted(s Services, kit *telemetry.Kit, traffic *storeTraffic, bad *badRows) Services {
	s.Store = countedStore{s.Store, telemetry.NewCallMetrics(kit.Scope, "store"), traffic, bad}
	s.Workers = countedWorkers{s.Workers, telemetry.NewCallMetrics(kit.Scope, "worker")}
	if s.Advisor != nil {
		s.Advisor = countedAdvisor{s.Advisor, telemetry.NewCallMetrics(kit.Scope, "policy")}
	}
	return s
}
