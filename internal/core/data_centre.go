package core

// DataCentre is the declaration of one data centre.
type DataCentre struct {
	ID     DataCentreID `json:"id"`
	Region RegionID     `json:"region"`
	State  AdminState   `json:"state"`
}
