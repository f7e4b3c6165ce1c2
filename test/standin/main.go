// SPDX-License-Identifier: Apache-2.0

// Command standin runs the test doubles of all that dewpass runs on in one process:
// the platform, its workers and the load balancer. It is for tests and the demo, and
// not part of the shipped binary.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"log"
	"net"
	"net/http"
	"os"

	"dewpass.org/internal/standin"
	"dewpass.org/test/bed"
)

func main() {
	file := flag.String("config", "", "`file` with the configuration (JSON)")
	flag.Parse()
	if err := run(*file); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func run(file string) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	var c bed.StandInConfig
	if err := json.Unmarshal(raw, &c); err != nil {
		return err
	}
	p := standin.NewPlatform()
	for _, e := range c.Entries {
		p.List.Put(e.Instance())
	}
	for _, spec := range c.Workers {
		w := standin.NewWorker(p, spec.ID, spec.Hall, spec.Rack, spec.Addr, spec.Capacity)
		p.AddWorker(w)
		if err := serve(spec.Addr, w.Handler()); err != nil {
			return err
		}
	}
	if err := balance(c); err != nil {
		return err
	}
	l, err := net.Listen("tcp", c.Platform)
	if err != nil {
		return err
	}
	return http.Serve(l, p.Handler())
}

func serve(addr string, h http.Handler) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	go func() { log.Fatal(http.Serve(l, h)) }()
	return nil
}

func balance(c bed.StandInConfig) error {
	l, err := net.Listen("tcp", c.Balancer)
	if err != nil {
		return err
	}
	b := &standin.Balancer{}
	b.Set(c.Targets)
	go func() { log.Fatal(b.Serve(l)) }()
	return nil
}
