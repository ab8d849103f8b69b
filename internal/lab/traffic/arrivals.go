package traffic

import (
	"fmt"
	"math"
	"math/rand/v2"

	"gonum.org/v1/gonum/stat/distuv"
)

// ArrivalProcess is the arrival process of the statements.
type ArrivalProcess string

// The arrival processes.
const (
	Poisson ArrivalProcess = "poisson"
	Bursts  ArrivalProcess = "bursts" // on and off, with heavy-tailed pauses
	Season  ArrivalProcess = "season" // a day's curve, which rises to a festival at the end
)

// ArrivalProcessError reports an unknown arrival process.
type ArrivalProcessError string

// Error implements error.
func (e ArrivalProcessError) Error() string {
	return fmt.Sprintf("arrivals: %q is none of poisson, bursts, season", string(e))
}

// RateError reports a rate of arrivals that is not above 0.
type RateError float64

// Error implements error.
func (e RateError) Error() string { return fmt.Sprintf("arrivals: a rate of %g a second", float64(e)) }

const microsPerSecond = 1e6

// arrivals draws the arrival times of statements.
type arrivals struct {
	process   ArrivalProcess
	random    *rand.Rand
	rate      float64 // statements a second on average
	duration  float64 // of all of them in seconds
	now       float64 // in seconds
	burstLeft float64 // in seconds
	gap       distuv.Exponential
	pause     distuv.Pareto
}

const (
	arrivalStream = 0x6172726976616c73 // second word of the seed: distinct from other uses of it

	// Bursts have four times the rate for 0.2 s on average, and pauses of 0.6 s on average.
	burstRateFactor = 4
	meanBurst       = 0.2
	minPause        = 0.2
	pauseExponent   = 1.5
	maxPause        = 30

	// maxSeasonFactor is the highest rate of the season over the average.
	maxSeasonFactor = 3
)

func newArrivals(process ArrivalProcess, rate float64, number int, seed uint64) (*arrivals, error) {
	switch process {
	case Poisson, Bursts, Season:
	default:
		return nil, ArrivalProcessError(process)
	}
	if !(rate > 0) { // also where it is no number
		return nil, RateError(rate)
	}
	random := rand.New(rand.NewPCG(seed, arrivalStream))
	return &arrivals{
		process: process, random: random, rate: rate, duration: float64(number) / rate,
		gap:   distuv.Exponential{Rate: 1, Src: random},
		pause: distuv.Pareto{Xm: minPause, Alpha: pauseExponent, Src: random},
	}, nil
}

// next returns the next arrival time in microseconds.
func (a *arrivals) next() int64 {
	switch a.process {
	case Poisson:
		a.now += a.gap.Rand() / a.rate
	case Bursts:
		a.nextInBursts()
	case Season:
		a.nextInSeason()
	}
	return int64(a.now * microsPerSecond)
}

func (a *arrivals) nextInBursts() {
	gap := a.gap.Rand() / (burstRateFactor * a.rate)
	if a.burstLeft -= gap; a.burstLeft < 0 {
		a.now += math.Min(a.pause.Rand(), maxPause)
		a.burstLeft = a.gap.Rand() * meanBurst
	}
	a.now += gap
}

// nextInSeason draws by thinning (Lewis and Shedler, 1979).
func (a *arrivals) nextInSeason() {
	for accepted := false; !accepted; {
		a.now += a.gap.Rand() / (maxSeasonFactor * a.rate)
		accepted = a.random.Float64()*maxSeasonFactor <= a.seasonFactor()
	}
}

// seasonFactor is the present rate over the average: a day of work in each tenth of the
// duration, and a festival towards the end.
func (a *arrivals) seasonFactor() float64 {
	progress := a.now / a.duration
	day := 0.6 + 0.4*math.Sin(2*math.Pi*(10*progress-0.25))
	distance := (progress - 0.85) / 0.08
	festival := 1.6 * math.Exp(-(distance * distance))
	return math.Min(day+festival, maxSeasonFactor)
}
