// SPDX-License-Identifier: Apache-2.0

package fault

// Rule describes a failure at a point or on links, or the rate of the clock.
type Rule struct {
	// Point is the step at which the rule applies, "" for a rule on links or on the clock.
	Point Point `json:"point,omitempty"`
	// Worker and Account limit a rule on a point to tasks of workers whose names start with
	// Worker, and to tasks of that client account. "" matches all.
	Worker  string `json:"worker,omitempty"`
	Account string `json:"shop,omitempty"`
	// Addr selects the links of a rule on links: those whose addresses contain it.
	Addr string `json:"addr,omitempty"`
	// Skip is how many matches are ignored before the rule applies.
	Skip int `json:"skip,omitempty"`
	// DelayMS delays the step or the use of the link.
	DelayMS int64 `json:"delay_ms,omitempty"`
	// Exit ends the process at once.
	Exit bool `json:"exit,omitempty"`
	// Stop suspends the process with SIGSTOP; the test that set the rule has to resume it.
	Stop bool `json:"stop,omitempty"`
	// Cut makes every use of the link fail.
	Cut bool `json:"cut,omitempty"`
	// Deaf drops the replies on the link; requests still arrive.
	Deaf bool `json:"deaf,omitempty"`
	// Rate sets the rate of this process's clock, where 1 is the machine's own. It stands in a
	// rule without a point and an address.
	Rate float64 `json:"rate,omitempty"`
}
