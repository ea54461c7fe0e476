/*
 * Life of a process that runs the job service on the users' platform.
 */
#ifndef FLEET_MAIN_H
#define FLEET_MAIN_H

#include "fleet_settings.h"

/* Runs until SIGTERM or SIGINT and a drain; the process's exit status. */
int fleet_main(const char *path, fleet_settings_t *settings);

#endif
