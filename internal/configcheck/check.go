package configcheck

import "siskintide.example/siskintide/internal/core"

// Check returns a *FaultsError when the configuration is not consistent. A complete
// configuration names the state of every data centre and target and the version of every
// model and engine; declarations may leave these out.
func Check(config *core.Config, complete bool) error {
	c := newChecker(config, complete)
	c.checkDataCentres()
	c.checkKinds()
	c.checkModels()
	c.checkServices()
	c.checkClasses()
	c.checkTeams()
	c.checkTargets()
	c.checkPools()
	if len(c.faults) == 0 {
		return nil
	}
	return &FaultsError{Faults: c.faults}
}
