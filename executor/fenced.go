package executor

// HandleRenewalFenced handles a renewal with the given fencing token that the server refused
// because it has seen a higher one.
func (x *Executor) HandleRenewalFenced(token uint64) Effects {
	var effects Effects
	x.handleFenced(RenewalRequestKind, token, &effects)
	return effects
}

// handleFenced handles the refusal of a request with a fencing token, since the server has seen a
// higher one. The agent raises its token only if no newer request of its own has overtaken this
// one: otherwise its token would run ahead of the time of day, at which the next incarnation of the
// agent starts.
func (x *Executor) handleFenced(kind RequestKind, token uint64, effects *Effects) {
	refused := FencedRequest{Current: x.tokens.Current(), Kind: kind, Token: token}
	refused.Raised = x.tokens.HandleRefusal(token)
	effects.Fenced = append(effects.Fenced, refused)
}

// ReservedToken returns the highest fencing token that the agent may use without recording a higher
// one in the store.
func (x *Executor) ReservedToken() uint64 {
	return x.tokens.Reserved()
}

// RaiseToken raises the fencing token above floor, up to which former incarnations of the agent may
// have used tokens according to the store.
func (x *Executor) RaiseToken(floor uint64) Effects {
	var effects Effects
	x.raiseToken(floor, "", &effects)
	return effects
}

// raiseToken raises the fencing token above floor, of which source knows, unless it is above it.
// The server may be a new incarnation, which has seen none of the former tokens. It gets the new
// one at once, and the entries are told of it.
func (x *Executor) raiseToken(floor uint64, source string, effects *Effects) {
	before := x.tokens.Current()
	if !x.tokens.RaiseAbove(floor) {
		return
	}
	effects.TokenRaise = &TokenRaise{From: before, Source: source, To: x.tokens.Current()}
	x.notifyAll(effects)
}
