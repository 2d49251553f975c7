#!/bin/sh
# run_case-2.sh FOLDER_OF_THE_CASE NAME: starts one case with the program that the deploy file names.
here=$(cd "$1" && pwd) || exit 2
cd "$(dirname "$0")/../.." || exit 2
RUN=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/service.toml)
[ -n "$RUN" ] && [ -x "${RUN%% *}" ] && [ -x target/review-2/cases ] || exit 2
FOLDER=$(mktemp -d) || exit 2
export RUN FOLDER RECORD="$here/record.txt" LOG_LEVEL="${LOG_LEVEL:-error}"
timeout -k 2 118 target/review-2/cases "$2"
status=$?
[ -n "$KEEP" ] && echo "logs: $FOLDER" || rm -rf "$FOLDER"
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
