// SPDX-License-Identifier: Apache-2.0

package halls

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"
)

// The halls reach each other through links: a proxy at the address at which the other hall sees an
// instance or a worker, with the same port. Addresses that instances tell each other, or write into the
// store, are translated on the way, as by network address translation. While a link is cut, it passes
// nothing on in either direction and says nothing; what it held then is lost.

// translation maps texts of equal length.
type translation []string

var (
	northToSouth = translation{northReal + ":", northSeen + ":", southSeen + ":", southReal + ":"}
	southToNorth = translation{southReal + ":", southSeen + ":", northSeen + ":", northReal + ":"}
	// The store holds the own addresses of all.
	storeToNorth = translation{southReal + ":", southSeen + ":"}
	northToStore = translation{southSeen + ":", southReal + ":"}
	storeToSouth = translation{northReal + ":", northSeen + ":"}
	southToStore = translation{northSeen + ":", northReal + ":"}
)

func (t translation) apply(raw []byte) []byte {
	return []byte(strings.NewReplacer(t...).Replace(string(raw)))
}

// seenFrom returns addresses as a hall sees them.
func (b *bed) seenFrom(hall string, addrs []string) []string {
	var out []string
	for _, a := range addrs {
		if hall == north {
			out = append(out, string(storeToNorth.apply([]byte(a))))
		} else {
			out = append(out, string(storeToSouth.apply([]byte(a))))
		}
	}
	return out
}

// link is the way from the other hall to an address.
type link struct {
	target   string
	out, in  translation
	listener net.Listener

	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]bool
}

// link starts the way from the other hall to the listener at an own address of a hall.
func (b *bed) link(target string) {
	l := &link{target: target, conns: make(map[net.Conn]bool)}
	ip, port, _ := net.SplitHostPort(target)
	at := net.JoinHostPort(northSeen, port)
	l.in, l.out = southToNorth, northToSouth
	if ip == southReal {
		at = net.JoinHostPort(southSeen, port)
		l.in, l.out = northToSouth, southToNorth
	}
	var err error
	l.listener, err = net.Listen("tcp", at)
	b.must(err)
	b.links = append(b.links, l)
	go l.accept()
}

func (l *link) accept() {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.serve(c)
	}
}

func (l *link) serve(c net.Conn) {
	if !l.add(c) {
		return
	}
	s, err := net.DialTimeout("tcp", l.target, time.Second)
	if err != nil {
		// Nobody listens there: the dialer gets a reset.
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		c.Close()
		return
	}
	if !l.add(s) {
		return
	}
	go l.copy(s, c, l.in)
	l.copy(c, s, l.out)
}

// add notes a connection, and reports whether the link is whole. One that is made while it is cut stays
// silent.
func (l *link) add(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = true
	return !l.cut
}

func (l *link) copy(to, from net.Conn, t translation) {
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		l.mu.Lock()
		cut := l.cut || !l.conns[from]
		l.mu.Unlock()
		if cut {
			return
		}
		if n > 0 {
			if _, werr := to.Write(t.apply(buf[:n])); werr != nil {
				err = werr
			}
		}
		if err != nil {
			from.Close()
			to.Close()
			return
		}
	}
}

// setCut cuts the link or mends it. Connections of before are gone then.
func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	if !cut {
		for c := range l.conns {
			if t, ok := c.(*net.TCPConn); ok {
				_ = t.SetLinger(0)
			}
			c.Close()
		}
		l.conns = make(map[net.Conn]bool)
	}
}

// cutHall cuts a hall off from the other hall and from the platform, or mends that.
func (b *bed) cutHall(hall string, cut bool) {
	b.mu.Lock()
	b.hidden[hall] = cut
	b.cutSince[hall] = time.Now()
	b.mu.Unlock()
	for _, l := range b.links {
		l.setCut(cut)
	}
	if cut {
		b.note("%s is cut off", hall)
	} else {
		b.note("%s is connected again", hall)
	}
}

// isCut reports whether a hall is cut off.
func (b *bed) isCut(hall string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.hidden[hall]
}

// storeFor serves the platform's store to the instances of a hall.
func (b *bed) storeFor(hall string) string {
	in, out := northToStore, storeToNorth
	if hall == south {
		in, out = southToStore, storeToSouth
	}
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if b.isCut(hall) {
			<-r.Context().Done()
			return
		}
		raw, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(translateRows(raw, in, nil)))
		answer := httptest.NewRecorder()
		b.world.Store.ServeHTTP(answer, r)
		if b.isCut(hall) {
			<-r.Context().Done()
			return
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(answer.Code)
		_, _ = w.Write(translateRows(answer.Body.Bytes(), out, b.lapsed))
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	b.must(err)
	go func() { _ = (&http.Server{Handler: h}).Serve(l) }()
	return l.Addr().String()
}

// threeHeartbeats of the stand-in's workers are how long the entry of one that is silent stays.
const threeHeartbeats = 1500 * time.Millisecond

// silentFor returns for how long a hall has been cut off.
func (b *bed) silentFor(hall string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.hidden[hall] {
		return 0
	}
	return time.Since(b.cutSince[hall])
}

// machinesFor serves the platform's list of machines to the instances of a hall.
func (b *bed) machinesFor(hall string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	b.must(err)
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if b.isCut(hall) {
			<-r.Context().Done()
			return
		}
		b.world.Machines.ServeHTTP(w, r)
	})
	go func() { _ = (&http.Server{Handler: h}).Serve(l) }()
	return l.Addr().String()
}

// lapsed reports whether a row is the entry of a worker that cannot write it, as its hall is cut off.
func (b *bed) lapsed(table string, value []byte) bool {
	if table != "servers" {
		return false
	}
	var entry struct{ Zone string }
	return json.Unmarshal(value, &entry) == nil && b.silentFor(entry.Zone) > threeHeartbeats
}

// translateRows translates the values of the rows in a request to the store or in its answer, and
// leaves rows out.
func translateRows(raw []byte, t translation, leaveOut func(table string, value []byte) bool) []byte {
	var doc map[string]json.RawMessage
	if json.Unmarshal(raw, &doc) != nil {
		return raw
	}
	for _, name := range []string{"rows", "put"} {
		var rows []map[string]any
		d := json.NewDecoder(bytes.NewReader(doc[name]))
		d.UseNumber()
		if doc[name] == nil || d.Decode(&rows) != nil {
			continue
		}
		kept := []map[string]any{}
		for _, row := range rows {
			value, ok := row["value"].(string)
			if ok {
				var plain []byte
				if json.Unmarshal([]byte(`"`+value+`"`), &plain) == nil {
					table, _ := row["table"].(string)
					if leaveOut != nil && leaveOut(table, plain) {
						continue
					}
					row["value"] = t.apply(plain)
				}
			}
			kept = append(kept, row)
		}
		doc[name], _ = json.Marshal(kept)
	}
	out, err := json.Marshal(doc)
	if err != nil {
		return raw
	}
	return out
}
