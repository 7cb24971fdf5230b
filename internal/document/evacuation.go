package document

import (
	"github.com/galenalever/galenalever/internal/findings"
	"github.com/galenalever/galenalever/internal/model"
)

const (
	// maxDomainLength is the largest length of the name of a failure domain in bytes.
	maxDomainLength = 256
	// maxReasonLength is the largest length of the reason of an evacuation in bytes: it
	// is part of status pages and events.
	maxReasonLength = 200
)

// ParseEvacuation parses the document of an evacuation, which is {} or states a reason.
// The leaves are nil if there are findings. The source is the document's name in
// findings.
func ParseEvacuation(source string, domain model.FailureDomain, text []byte) ([]model.Leaf, findings.List) {
	r := &reader{source: source}
	evacuation := &model.Evacuation{Domain: domain}
	if len(domain) > maxDomainLength {
		r.addf(value{}, "the name of the failure domain is longer than %d bytes", maxDomainLength)
	}
	if body, ok := r.parse(text); ok {
		r.mapping(body, fields{"reason": func(v value) { evacuation.Reason = r.reason(v) }})
	}
	return r.leavesOrFindings(model.Declarations{Evacuations: []*model.Evacuation{evacuation}})
}

func (r *reader) reason(v value) string {
	text, ok := r.text(v)
	if ok && len(text) > maxReasonLength {
		r.addf(v, "reason is longer than %d bytes", maxReasonLength)
	}
	return text
}
