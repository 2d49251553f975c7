#!/bin/bash
# Runs one case: run_case.sh FOLDER STAND-IN. The controllers are started from the repository's root
# with the command `run` of deploy/service.toml.
case_folder=$(cd "$1" && pwd)
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root" || exit 2
read -r -a command < <(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/service.toml)
if [ ! -x "review/bin/$2" ] || [ ! -x "${command[0]}" ]; then
  echo "build the program (deploy/service.toml) and review/build.sh first" >&2
  exit 2
fi
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
timeout -k 1 118 "review/bin/$2" "$folder" "$case_folder/record.txt" "${TROUBLE:-1}" "${command[@]}"
status=$?
case $status in
  0) echo "held" ;;
  1) grep 'RULE BROKEN' "$case_folder/record.txt" ;;
  *) echo "could not run" && tail -n 1 "$case_folder/record.txt" && status=2 ;;
esac
exit $status
