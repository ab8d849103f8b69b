package policy

// decayingCounter counts events by key. All counts are halved whenever their total reaches a limit, so that
// recent events count more and rare keys are dropped.
type decayingCounter struct {
	counts map[int64]float64
	total  float64
}

func newDecayingCounter() decayingCounter {
	return decayingCounter{counts: map[int64]float64{}}
}

// add counts one event, and halves the counts when their total reaches the limit.
func (d *decayingCounter) add(key int64, limit float64) {
	d.counts[key]++
	d.total++
	if d.total < limit {
		return
	}
	for k, count := range d.counts {
		if count < 2 { // half of it would be less than one
			delete(d.counts, k)
		} else {
			d.counts[k] = count / 2
		}
	}
	d.total /= 2
}

// count returns the decayed number of events of the key.
func (d *decayingCounter) count(key int64) float64 { return d.counts[key] }
