package tasklink

//go:generate go run github.com/tinylib/msgp@v1.6.5 -file interference.go -o interference_gen.go -tests=false -marshal=true -io=false

// A message that states more elements is rejected before memory is allocated for them.
//
//msgp:limit arrays:65536 maps:65536

// An Interference holds estimates of an agent of how much routes slow each other down on
// its server. Each replaces the earlier one for its pair.
//
//msgp:tuple Interference
type Interference struct {
	// Routes are the names that the pairs refer to.
	Routes []string
	Pairs  []InterferencePair
}

// An InterferencePair is the estimated effect of a neighbor on the runs of a route.
//
//msgp:tuple InterferencePair
type InterferencePair struct {
	// Route and Neighbor are indexes in Interference.Routes.
	Route    int
	Neighbor int
	// Effect is the logarithm of the factor by which a run takes longer beside the neighbor.
	Effect float32
	// Weight is the inverse of the variance of Effect.
	Weight float32
}

// A RouteCount is the number of runs of a route on a server.
//
//msgp:tuple RouteCount
type RouteCount struct {
	Route string
	Count int
}
