package core

// RegionID names a region, a set of data centres close to each other.
type RegionID string
