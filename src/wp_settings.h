/* Checks of settings that their shapes cannot express: ranges, from one
 * table, and words out of a list. */
#ifndef WP_SETTINGS_H
#define WP_SETTINGS_H

#include "wp_pb.h"

/* Reads and checks one settings document; see wp_yaml_read(). */
void *wp_settings_read(const ProtobufCMessageDescriptor *shape, WPStr text,
                       const char *file, GError **error);

/* The table as text, a line a field: name, unit, range. */
char *wp_settings_help(const ProtobufCMessageDescriptor *shape);

#endif
