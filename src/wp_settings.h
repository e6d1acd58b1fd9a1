/* Validation of settings beyond their message types: numeric ranges and lists
 * of allowed strings, from one table. */
#ifndef WP_SETTINGS_H
#define WP_SETTINGS_H

#include "wp_pb.h"

/* Parses and validates one settings document; see wp_yaml_read(). */
void *wp_settings_read(const ProtobufCMessageDescriptor *type, WPStr text,
                       const char *file, GError **error);

/* Returns a description of the settings as text, one line per field: its name,
   whether it is required, and its range; free with g_free(). */
char *wp_settings_help(const ProtobufCMessageDescriptor *type);

#endif
