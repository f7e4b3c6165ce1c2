// SPDX-License-Identifier: Apache-2.0

package link

import (
	"encoding/binary"
	"io"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"dewpass.org/kind"
)

const (
	maxFrame   = 9 << 20
	headerSize = 4
	// backlog bounds the streams that a peer has opened and that were not
	// accepted yet.
	backlog       = 512
	writeTimeout  = 2 * time.Second
	openTimeout   = 2 * time.Second
	closeTimeout  = 5 * time.Second
	streamWindow  = 256 << 10
	handshakeTime = 2 * time.Second
	// pingEvery spaces the pings by which a server finds out sessions that their
	// dialers have replaced without a word. Such a session costs memory only.
	pingEvery = 10 * time.Second
)

// serverConfig is the configuration of the end that accepts.
func serverConfig() *yamux.Config {
	c := sessionConfig()
	c.EnableKeepAlive, c.KeepAliveInterval = true, pingEvery
	return c
}

// sessionConfig is the configuration of the end that dials. A window of the least size
// bounds what a slow reader can hold up in memory.
func sessionConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.AcceptBacklog = backlog
	// Every request has a time limit and shows whether the peer is heard; pings would
	// only add to it.
	c.EnableKeepAlive = false
	c.ConnectionWriteTimeout = writeTimeout
	c.StreamOpenTimeout = openTimeout
	c.StreamCloseTimeout = closeTimeout
	c.MaxStreamWindowSize = streamWindow
	c.LogOutput = io.Discard
	return c
}

// writeFrame sends m with its length in front, in one write.
func writeFrame(w io.Writer, m proto.Message) error {
	buf := make([]byte, headerSize, headerSize+proto.Size(m))
	buf, err := proto.MarshalOptions{}.MarshalAppend(buf, m)
	if err != nil {
		return kind.Wrap(kind.Internal, err, "encode")
	}
	if len(buf) > maxFrame {
		return kind.New(kind.TooLarge, "message between instances")
	}
	binary.BigEndian.PutUint32(buf, uint32(len(buf)-headerSize))
	_, err = w.Write(buf)
	return err
}

// readFrame reads one message into m.
func readFrame(r io.Reader, m proto.Message) error {
	var header [headerSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > maxFrame {
		return kind.New(kind.TooLarge, "message between instances")
	}
	buf := make([]byte, size)
	if _, err := io.ReadFull(r, buf); err != nil {
		return err
	}
	return proto.Unmarshal(buf, m)
}
