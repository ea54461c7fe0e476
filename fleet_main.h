/*
 * Main function of a process that runs the job service on the users' platform.
 */
#ifndef FLEET_MAIN_H
#define FLEET_MAIN_H

#include "fleet_settings.h"

/*
 * Runs the process until it has drained after SIGTERM or SIGINT; returns the
 * exit status.
 */
int fleet_main(const char *path, fleet_settings_t *settings);

#endif
