// Package standmain is the common main function of the stand-in programs: options, log, signals and exit codes.
package standmain
