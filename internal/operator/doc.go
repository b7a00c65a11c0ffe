// Package operator serves the operators' HTTP interface on the admin listener: it plans and
// confirms changes, reports status, and exports and imports accepted configurations for hosts
// without access to the platform. Every call needs the operator key.
package operator
