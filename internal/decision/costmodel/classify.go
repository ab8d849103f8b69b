package costmodel

// classify returns the index of the class for an expected work in ms. bucket may be nil. A bucket stores its
// class, which changes only if the work passes the limit between two classes by the factor of the hysteresis.
func (m *Model) classify(work float64, bucket *Bucket) int {
	if len(m.cfg.Classes) == 0 {
		return NoClass
	}
	class := m.classFor(work)
	if bucket == nil {
		return class
	}
	if current := int(bucket.ClassPlusOne) - 1; m.keepsClass(current, class, work) {
		return current
	}
	bucket.ClassPlusOne = uint8(class + 1)
	return class
}

// keepsClass reports whether a bucket stays in its current class because of the hysteresis.
func (m *Model) keepsClass(current, class int, work float64) bool {
	if current < 0 || current >= len(m.cfg.Classes) || current == class {
		return false
	}
	if class > current {
		return m.classFor(work/m.cfg.Hysteresis) <= current
	}
	return m.classFor(work*m.cfg.Hysteresis) >= current
}

// classFor returns the index of the first class whose limit the work does not exceed, or else of the last class.
func (m *Model) classFor(work float64) int {
	for i, class := range m.cfg.Classes {
		if class.MaxWorkMillis <= 0 || work <= class.MaxWorkMillis {
			return i
		}
	}
	return len(m.cfg.Classes) - 1
}
