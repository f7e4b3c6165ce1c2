// SPDX-License-Identifier: Apache-2.0

package fault

// Rule is what befalls a point or a link.
type Rule struct {
	// Point is the point, or "" for a rule on links.
	Point Point `json:"point,omitempty"`
	// Worker is the start of the names of the workers, and Shop the shop, to
	// whose tasks a rule on a point is kept; "" is any.
	Worker string `json:"worker,omitempty"`
	Shop   string `json:"shop,omitempty"`
	// Addr is the start of the addresses of the links, for a rule on links.
	Addr string `json:"addr,omitempty"`
	// Skip lets the point pass so many times first.
	Skip int `json:"skip,omitempty"`
	// DelayMS holds the step up.
	DelayMS int64 `json:"delay_ms,omitempty"`
	// Exit ends the process at once.
	Exit bool `json:"exit,omitempty"`
	// Stop stops the process as SIGSTOP does; whoever set the rule lets it
	// carry on.
	Stop bool `json:"stop,omitempty"`
	// Cut fails the link.
	Cut bool `json:"cut,omitempty"`
	// Deaf loses what comes back over the link; what is sent arrives.
	Deaf bool `json:"deaf,omitempty"`
	// Rate is the speed of this process's clock, for a rule of its own.
	Rate float64 `json:"rate,omitempty"`
}
