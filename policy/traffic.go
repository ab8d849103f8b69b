package policy

const (
	maxRateWindow     = 80  // control periods over which the arrival rate is averaged
	firstRateWindow   = 4   // control periods at first: the arrivals of a single period vary a lot
	maxInFlightWindow = 40  // control periods, and load reports, over which requests in flight are averaged
	weightWindow      = 20  // attempts over which the mean weight is averaged
	meanWorkWindow    = 100 // attempts over which the mean work is averaged
)

// trafficEstimate estimates this front end's share of all traffic from moving averages. Their windows grow
// at first, so that the first observations count more.
type trafficEstimate struct {
	replicas         int     // front ends that share the engines
	totalQuota       float64 // requests a second that all tenants may send; 0: unknown
	periods          int
	arrivals         int     // requests in the current control period, without retries by clients
	arrivalRate      float64 // mean arrivals a second, without retries by clients
	ownInFlight      float64 // mean unfinished requests of this front end per engine, nearly all in flight
	reportedInFlight float64 // mean requests in flight that an engine reports, from all front ends
	reports          float64 // load reports so far
	meanWeight       float64 // mean threads of the attempts sent
	meanWorkMs       float64 // mean expected work of the attempts sent
}

func newTrafficEstimate(replicas int, totalQuota float64) trafficEstimate {
	return trafficEstimate{
		replicas:    replicas,
		totalQuota:  totalQuota,
		arrivalRate: totalQuota / float64(replicas),
	}
}

// share returns this front end's share of all traffic, at least the even share. If the settings have quotas,
// the share is the arrival rate divided by the sum of the quotas. Without quotas, it is the number of this
// front end's requests in flight divided by the number of requests in flight that engines report.
func (t *trafficEstimate) share() float64 {
	even := 1 / float64(t.replicas)
	if t.totalQuota <= 0 {
		return min(max(t.ownInFlight/max(t.reportedInFlight, 1), even), 1)
	}
	return min(max(t.arrivalRate/t.totalQuota, even), 1)
}

// observeArrival counts a request that is not marked as a retry by the client.
func (t *trafficEstimate) observeArrival() { t.arrivals++ }

// endPeriod records the arrivals of a control period and this front end's requests per engine at its end.
func (t *trafficEstimate) endPeriod(requestsPerEngine float64) {
	t.periods++
	rate := float64(t.arrivals) / controlPeriod.Seconds()
	t.arrivalRate = ewma(t.arrivalRate, rate, float64(min(firstRateWindow+t.periods, maxRateWindow)))
	t.arrivals = 0
	t.ownInFlight = ewma(t.ownInFlight, requestsPerEngine, float64(min(t.periods, maxInFlightWindow)))
}

// observeReport records the number of requests in flight that an engine reports.
func (t *trafficEstimate) observeReport(inFlight float64) {
	t.reports++
	t.reportedInFlight = ewma(t.reportedInFlight, inFlight, min(t.reports, maxInFlightWindow))
}

// observeSent records the weight and the expected work of an attempt that is sent.
func (t *trafficEstimate) observeSent(req *request) {
	t.meanWeight = ewma(t.meanWeight, req.weight, weightWindow)
	t.meanWorkMs = ewmaSeeded(t.meanWorkMs, req.expectedWorkMs, meanWorkWindow)
}
