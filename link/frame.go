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
	maxFrameSize = 9 << 20
	headerSize   = 4
	// acceptBacklog bounds the streams that a peer has opened and that are not accepted yet.
	acceptBacklog = 512
	writeTimeout  = 2 * time.Second
	openTimeout   = 2 * time.Second
	closeTimeout  = 5 * time.Second
	streamWindow  = 256 << 10
	// requestTimeout bounds the time for reading the request of a new stream.
	requestTimeout = 2 * time.Second
	// pingInterval is the time between the pings by which a server detects sessions that
	// their dialers have abandoned. Such a session only costs memory.
	pingInterval = 10 * time.Second
)

// serverConfig returns the yamux configuration of the accepting side.
func serverConfig() *yamux.Config {
	c := sessionConfig()
	c.EnableKeepAlive, c.KeepAliveInterval = true, pingInterval
	return c
}

// sessionConfig returns the yamux configuration of the dialling side. The stream window has
// the minimum size to bound the memory that a slow reader can hold.
func sessionConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.AcceptBacklog = acceptBacklog
	// Every request has a timeout and shows whether the peer responds, so pings would be
	// redundant.
	c.EnableKeepAlive = false
	c.ConnectionWriteTimeout = writeTimeout
	c.StreamOpenTimeout = openTimeout
	c.StreamCloseTimeout = closeTimeout
	c.MaxStreamWindowSize = streamWindow
	c.LogOutput = io.Discard
	return c
}

// writeFrame writes m with its length as a prefix, in one call of Write.
func writeFrame(w io.Writer, m proto.Message) error {
	buf := make([]byte, headerSize, headerSize+proto.Size(m))
	buf, err := proto.MarshalOptions{}.MarshalAppend(buf, m)
	if err != nil {
		return kind.Wrap(kind.Internal, err, "encode")
	}
	if len(buf) > maxFrameSize {
		return kind.New(kind.TooLarge, "message between instances")
	}
	binary.BigEndian.PutUint32(buf, uint32(len(buf)-headerSize))
	_, err = w.Write(buf)
	return err
}

// readFrame reads one length-prefixed message into m.
func readFrame(r io.Reader, m proto.Message) error {
	var header [headerSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > maxFrameSize {
		return kind.New(kind.TooLarge, "message between instances")
	}
	buf := make([]byte, size)
	if _, err := io.ReadFull(r, buf); err != nil {
		return err
	}
	return proto.Unmarshal(buf, m)
}
