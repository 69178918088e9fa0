package relayer

import (
	"primrosehook/balancer"
	"primrosehook/reuser"
)

// promptOf returns the prompt of a request in parts, which together have its prompt tokens: the last
// one has all tokens beyond those of the others, and the others have no more than the prompt, whatever
// the header says of them.
func promptOf(meta Meta) *reuser.Prompt {
	p := reuser.NewPrompt(meta.Model, meta.Adapter)
	rest := meta.PromptTokens
	for i, part := range meta.Parts {
		tokens := min(part.Tokens, rest)
		if i == len(meta.Parts)-1 {
			tokens = rest
		}
		p.Add(part.ID, tokens)
		rest -= tokens
	}
	return p
}

// recordHeld records that the request is sent, and how many tokens of its prompt the server holds
// according to the owner of its schedule, if known is set.
func (x *exchange) recordHeld(assignment *balancer.Assignment, held int, known bool) {
	if x.query.Prompt == nil {
		return
	}
	o := assignment.RecordHeld(held, known)
	if !known {
		return
	}
	x.meter.Add(MetricPromptTokensHeld, int64(o.Held))
	x.meter.Add(MetricPartsBelievedHeld, int64(o.Hits))
	x.meter.Add(MetricPartsBelievedNotHeld, int64(o.FalseHits))
	x.meter.Add(MetricPartsHeldNotBelieved, int64(o.Misses))
}
