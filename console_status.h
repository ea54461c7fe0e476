/*
 * Status of one entry host and what it knows of its peers and shards, as
 * JSON.
 */
#ifndef CONSOLE_STATUS_H
#define CONSOLE_STATUS_H

#include <jansson.h>

#include "node.h"

/* Returns the status as a JSON object; the caller owns the reference. */
json_t *console_status_json(node_t *node);

#endif
