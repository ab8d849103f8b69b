package costmodel

// classify returns the index of the class for an expected work. A bucket keeps its class
// until the estimate has passed the bound by the hysteresis.
func (m *Model) classify(work float64, bucket *Bucket) int {
	if len(m.cfg.Classes) == 0 {
		return NoClass
	}
	class := m.classFor(work)
	if bucket == nil {
		return class
	}
	if held := int(bucket.ClassPlusOne) - 1; m.holdsClass(held, class, work) {
		return held
	}
	bucket.ClassPlusOne = uint8(class + 1)
	return class
}

// holdsClass reports whether the hysteresis keeps a bucket in the class it has.
func (m *Model) holdsClass(held, class int, work float64) bool {
	if held < 0 || held >= len(m.cfg.Classes) || held == class {
		return false
	}
	if class > held {
		return m.classFor(work/m.cfg.Hysteresis) <= held
	}
	return m.classFor(work*m.cfg.Hysteresis) >= held
}

func (m *Model) classFor(work float64) int {
	for i, class := range m.cfg.Classes {
		if class.MaxWorkMillis <= 0 || work <= class.MaxWorkMillis {
			return i
		}
	}
	return len(m.cfg.Classes) - 1
}
