#!/bin/sh
exec sh "$(dirname "$0")/../run-case.sh" broken-off review/3
