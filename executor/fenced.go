package executor

// tokenIncrement is added to the fencing token when the server has seen a higher one.
// This happens if an earlier incarnation of the agent used a clock that was ahead.
const tokenIncrement = 1 << 16

// handleFenced handles the refusal of a request with a fencing token, since the server has seen a
// higher one.
func (x *Executor) handleFenced(kind RequestKind, token uint64, effects *Effects) {
	refused := FencedRequest{Current: x.token, Kind: kind, Token: token}
	x.token += tokenIncrement
	refused.Raised = x.token != refused.Current
	effects.Fenced = append(effects.Fenced, refused)
}
