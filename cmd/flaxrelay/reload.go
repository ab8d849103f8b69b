package main

// reloadFile applies what may change while the server runs from its file. A file that
// can't be used changes nothing. It must be called on the event loop's goroutine.
func (s *server) reloadFile() {
	if s.reload == nil {
		s.logger.Info("reload.skipped", "reason", "the configuration names nothing that may change")
		return
	}
	if err := s.reload(); err != nil {
		s.counters.Increment("reload.failed")
		s.logger.Warn("reload.failed", "error", err, "effect", "the old file holds")
		return
	}
	s.counters.Increment("reload.completed")
	s.logger.Info("reload.completed")
}
