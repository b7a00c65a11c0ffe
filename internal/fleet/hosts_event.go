package fleet

// hostsEvent notes how many hosts share the bounds of the deployment.
type hostsEvent struct {
	count int
}

func (e hostsEvent) apply(s *state) {
	if e.count > 0 && e.count != s.hosts {
		s.log.WithField("hosts", e.count).Info("hosts that share bounds")
		s.hosts = e.count
	}
}
