// Package standplatform stands in for the platform's configuration service in tests and in the demo.
package standplatform
