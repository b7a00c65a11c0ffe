package cluster

// Layout says what a deployment consists of.
type Layout struct {
	BinDir      string   // directory of the built programs
	DataCentres []string // names; the hosts and targets below are for each
	Hosts       int
	Engines     int
	Services    int
	Teams       int        // declared teams; the first one's key is TeamKey
	EngineFlags []string   // further flags of the engines' stand-in
	EngineKind  EngineKind // declared bounds of the engines
	Timing      Timing     // of the hosts
}
