/** Adapters that reach the platform over HTTP and JSON. */
@NullMarked
package org.limpetring.platform.http;

import org.jspecify.annotations.NullMarked;
