#!/usr/bin/env bash
cd "$(dirname "$0")" && exec timeout 115 python3 case.py
