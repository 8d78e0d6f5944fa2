package executor

// handleFenced handles the refusal of a request with a fencing token, since the server has seen a
// higher one. The agent raises its token only if no newer request of its own has overtaken this
// one: otherwise its token would run ahead of the time of day, at which the next incarnation of the
// agent starts.
func (x *Executor) handleFenced(kind RequestKind, token uint64, effects *Effects) {
	refused := FencedRequest{Current: x.tokens.Current(), Kind: kind, Token: token}
	refused.Raised = x.tokens.HandleRefusal(token)
	effects.Fenced = append(effects.Fenced, refused)
}
