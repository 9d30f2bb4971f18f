#!/bin/sh
# TROUBLE=0 does the same without the disruption.
exec sh "$(dirname "$0")/../run-case.sh" relayed-stop review/1 "${TROUBLE:-1}"
