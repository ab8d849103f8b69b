package traffic

import (
	"fmt"
	"math"
	"math/rand/v2"

	"gonum.org/v1/gonum/stat/distuv"
)

// ArrivalProcess is the random process of the arrival times of statements.
type ArrivalProcess string

// The arrival processes. The average rate of Poisson and Bursts is about the nominal rate. The average rate of
// Season is lower.
const (
	Poisson ArrivalProcess = "poisson"
	Bursts  ArrivalProcess = "bursts" // bursts with heavy-tailed pauses between them
	Season  ArrivalProcess = "season" // with a daily peak, and a festival towards the end
)

// ArrivalProcessError reports an unknown arrival process.
type ArrivalProcessError string

func (e ArrivalProcessError) Error() string {
	return fmt.Sprintf("arrivals: unknown process %q, want poisson, bursts or season", string(e))
}

// RateError reports a rate of arrivals that is 0, negative or not a number.
type RateError float64

func (e RateError) Error() string {
	return fmt.Sprintf("arrivals: the rate %g is not above 0", float64(e))
}

const microsPerSecond = 1e6

// arrivals generates the arrival times of statements. It is not safe for concurrent use.
type arrivals struct {
	process     ArrivalProcess
	random      *rand.Rand
	exponential distuv.Exponential // with a mean of 1
	pause       distuv.Pareto      // between bursts, in seconds
	rate        float64            // nominal rate, in statements a second
	duration    float64            // of the traffic at the nominal rate, in seconds
	now         float64            // time of the last arrival, in seconds
	burstLeft   float64            // remaining time of the current burst, in seconds
}

const (
	arrivalStream = 0x6172726976616c73 // second word of the PCG seed, different for each use of a seed

	// Bursts of 0.2 s on average, at four times the nominal rate, between pauses of 0.6 s on average.
	burstRateFactor = 4
	meanBurst       = 0.2 // seconds
	minPause        = 0.2 // seconds
	pauseExponent   = 1.5
	maxPause        = 30 // seconds
)

// Season multiplies the nominal rate by a factor, which is the sum of a daily sine curve and of a bell curve
// for a festival towards the end. The average factor is below 1. The time and the width of the festival are
// shares of the duration of the traffic.
const (
	maxSeasonFactor = 3 // limits the sum of the two curves
	seasonDays      = 10
	meanDayFactor   = 0.6
	dayAmplitude    = 0.4
	dayPhase        = 0.25 // of a day, so that each day begins at its lowest rate
	festivalFactor  = 1.6
	festivalAt      = 0.85
	festivalWidth   = 0.08
)

func newArrivals(process ArrivalProcess, rate float64, number int, seed uint64) (*arrivals, error) {
	switch process {
	case Poisson, Bursts, Season:
	default:
		return nil, ArrivalProcessError(process)
	}
	if !(rate > 0) { // not rate <= 0, which is false for NaN
		return nil, RateError(rate)
	}
	random := rand.New(rand.NewPCG(seed, arrivalStream))
	return &arrivals{
		process:     process,
		random:      random,
		exponential: distuv.Exponential{Rate: 1, Src: random},
		pause:       distuv.Pareto{Xm: minPause, Alpha: pauseExponent, Src: random},
		rate:        rate,
		duration:    float64(number) / rate,
	}, nil
}

// next returns the next arrival time, in microseconds since the start.
func (a *arrivals) next() int64 {
	switch a.process {
	case Poisson:
		a.now += a.exponential.Rand() / a.rate
	case Bursts:
		a.nextInBursts()
	case Season:
		a.nextInSeason()
	}
	return int64(a.now * microsPerSecond)
}

func (a *arrivals) nextInBursts() {
	gap := a.exponential.Rand() / (burstRateFactor * a.rate)
	a.burstLeft -= gap
	if a.burstLeft < 0 {
		a.now += math.Min(a.pause.Rand(), maxPause)
		a.burstLeft = a.exponential.Rand() * meanBurst
	}
	a.now += gap
}

// nextInSeason draws the next arrival by thinning (Lewis and Shedler, 1979).
func (a *arrivals) nextInSeason() {
	for {
		a.now += a.exponential.Rand() / (maxSeasonFactor * a.rate)
		if a.random.Float64()*maxSeasonFactor <= a.seasonFactor() {
			return
		}
	}
}

// seasonFactor returns the current rate as a multiple of the nominal rate.
func (a *arrivals) seasonFactor() float64 {
	progress := a.now / a.duration
	day := meanDayFactor + dayAmplitude*math.Sin(2*math.Pi*(seasonDays*progress-dayPhase))
	distance := (progress - festivalAt) / festivalWidth
	festival := festivalFactor * math.Exp(-(distance * distance))
	return math.Min(day+festival, maxSeasonFactor)
}
