package core

// TeamID names one customer.
type TeamID string
