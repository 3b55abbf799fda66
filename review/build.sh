#!/bin/sh
# Builds the stand-ins of the cases. They are Python files of this folder that need the standard
# library only, so this checks that they compile. The deploy file's build makes target/deps.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 11), "Python 3.11 is needed"'
python3 -m py_compile standins/*.py */case.py
