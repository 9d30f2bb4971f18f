#!/bin/sh
# TROUBLE=0 does the same without the disruption.
exec sh "$(dirname "$0")/../run-case.sh" broken-off review/3 "${TROUBLE:-1}"
