package policy

const (
	maxRateWindow     = 80  // control periods that the arrival rate is averaged over
	firstRateWindow   = 4   // the same in the first period: one period's arrivals scatter
	maxInFlightWindow = 40  // control periods, and load reports, that requests in flight are averaged over
	weightWindow      = 20  // attempts that the mean weight is averaged over
	meanWorkWindow    = 100 // requests over which the mean work is averaged
)

// trafficEstimate estimates this front end's share of all traffic, from moving averages. Their
// windows grow from the start on, so that the first observations count more.
type trafficEstimate struct {
	replicas         int     // front ends that share the engines
	totalQuota       float64 // requests a second that all tenants may send; 0: unknown
	periods          int
	arrivals         int     // requests in the current control period, without clients' retries
	arrivalRate      float64 // the same, a second
	ownInFlight      float64 // own unfinished requests, per engine: nearly all are in flight
	reportedInFlight float64 // requests in flight that an engine reports, of all front ends
	reports          float64 // load reports so far
	meanWeight       float64 // threads of a request that was sent
	meanWorkMs       float64 // expected work of a request that was sent
}

func newTrafficEstimate(replicas int, totalQuota float64) trafficEstimate {
	return trafficEstimate{
		replicas:    replicas,
		totalQuota:  totalQuota,
		arrivalRate: totalQuota / float64(replicas),
	}
}

// share returns this front end's share of all traffic, at least the even share. If the settings have quotas,
// it is the arrival rate divided by the sum of the quotas; otherwise the own requests in flight divided by
// those that engines report.
func (t *trafficEstimate) share() float64 {
	even := 1 / float64(t.replicas)
	if t.totalQuota <= 0 {
		return min(max(t.ownInFlight/max(t.reportedInFlight, 1), even), 1)
	}
	return min(max(t.arrivalRate/t.totalQuota, even), 1)
}

// observeArrival counts a request that is no retry of a client.
func (t *trafficEstimate) observeArrival() { t.arrivals++ }

// endPeriod records the arrivals of a control period and the own requests per engine at its end.
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

// observeSent records the weight and the expected work of a request that was sent.
func (t *trafficEstimate) observeSent(req *request) {
	t.meanWeight = ewma(t.meanWeight, req.weight, weightWindow)
	t.meanWorkMs = ewmaSeeded(t.meanWorkMs, req.expectedWorkMs, meanWorkWindow)
}
