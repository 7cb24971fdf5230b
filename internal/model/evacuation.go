package model

import "strings"

// Evacuation is an operator's order that nothing is sent to the servers of a failure
// domain. It is in force while its document exists.
type Evacuation struct {
	Domain FailureDomain `json:"domain"`
	// Reason is what the operator stated; it may be empty.
	Reason string `json:"reason,omitempty"`
}

// evacuationKeyPrefix is what the keys of all evacuations start with.
const evacuationKeyPrefix = "evacuations/"

// EvacuationKey returns the key of the evacuation of a failure domain.
func EvacuationKey(domain FailureDomain) Key { return Key(evacuationKeyPrefix + string(domain)) }

// Evacuation returns the failure domain whose evacuation has the key, and whether the
// key is one of an evacuation.
func (k Key) Evacuation() (FailureDomain, bool) {
	domain, ok := strings.CutPrefix(string(k), evacuationKeyPrefix)
	return FailureDomain(domain), ok && domain != ""
}
