/** Interfaces to the platform; implemented by an adapter. */
@NullMarked
package org.limpetring.entry.port;

import org.jspecify.annotations.NullMarked;
