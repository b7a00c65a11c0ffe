package cluster

// Layout describes the parts of a deployment.
type Layout struct {
	BinDir      string   // directory of the built programs
	DataCentres []string // names; Hosts, Engines and Services count per data centre
	Hosts       int
	Engines     int
	Services    int
	Teams       int        // declared teams; the first one's key is TeamKey
	EngineFlags []string   // additional flags of the engine stand-ins
	EngineKind  EngineKind // declared limits of the engines
	Timing      Timing     // of the hosts
}
