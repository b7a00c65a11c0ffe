package core

// DataCentreID names one data centre.
type DataCentreID string
