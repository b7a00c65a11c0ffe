package core

// ModelVersion names one version of a model's weights.
type ModelVersion string
