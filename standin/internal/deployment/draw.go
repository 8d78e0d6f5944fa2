package deployment

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/pollenfront/pollenfront"
	"github.com/pollenfront/pollenfront/standin/internal/backendserver"
)

// declaredError is the greatest factor by which declared run times are wrong.
const declaredError = 10

// A Drawn is a job with what only the stand-ins know of it.
type Drawn struct {
	Job  pollenfront.Job
	Work []time.Duration // Of each task, at speed 1.
}

// Draw returns a random job of a mix, without ID and deadline.
func (d *Deployment) Draw(mix Mix, random *rand.Rand) (Drawn, Kind) {
	kind := d.Kinds[pick(mix, random)]
	drawn := Drawn{Job: pollenfront.Job{Kind: kind.Name, Team: d.Teams[random.IntN(len(d.Teams))]}}
	for i := range kind.MinTasks + random.IntN(kind.MaxTasks-kind.MinTasks+1) {
		work := min(scale(kind.Work, math.Exp(kind.Spread*random.NormFloat64())), slowTasks)
		declared := scale(work, math.Pow(declaredError, 2*random.Float64()-1))
		payload, err := json.Marshal(backendserver.Payload{Work: pollenfront.Duration(work)})
		if err != nil {
			panic(err) // A struct of plain fields can always be encoded.
		}
		drawn.Job.Tasks = append(drawn.Job.Tasks, pollenfront.Task{
			Declared: pollenfront.Duration(declared), Name: fmt.Sprintf("t%d", i), Payload: payload,
		})
		drawn.Work = append(drawn.Work, work)
	}
	return drawn, kind
}

// MeanWork returns the mean work of a job of a mix.
func (d *Deployment) MeanWork(mix Mix) time.Duration {
	const samples = 4000
	random := rand.New(rand.NewPCG(1, 2))
	var sum time.Duration
	for range samples {
		drawn, _ := d.Draw(mix, random)
		for _, w := range drawn.Work {
			sum += w
		}
	}
	return sum / samples
}

// pick returns an index with the probability that the mix gives it.
func pick(mix Mix, random *rand.Rand) int {
	at := random.Float64()
	for i, share := range mix {
		at -= share
		if at < 0 {
			return i
		}
	}
	return len(mix) - 1
}

// scale returns d times factor.
func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
