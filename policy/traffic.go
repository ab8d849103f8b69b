package policy

// trafficEstimate holds moving averages of the traffic. Their windows grow from
// the start on, so that the first observations count more.
type trafficEstimate struct {
	periods          int
	arrivals         int     // requests in the current control period, without clients' retries
	arrivalRate      float64 // the same, a second
	ownInFlight      float64 // own requests in flight, per engine
	reportedInFlight float64 // requests in flight that an engine reports, of all balancers
	reports          float64 // load reports so far
	meanWeight       float64 // threads of a request sent
	meanWorkMs       float64 // expected work of a request sent
}

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

// observeWeight records the weight of a request sent.
func (t *trafficEstimate) observeWeight(weight float64) {
	t.meanWeight = ewma(t.meanWeight, weight, weightWindow)
}
