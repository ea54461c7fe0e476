/*
 * What one entry host knows of the system, as JSON.
 */
#ifndef CONSOLE_STATUS_H
#define CONSOLE_STATUS_H

#include <jansson.h>

#include "node.h"

/* A new reference. */
json_t *console_status_json(node_t *node);

#endif
