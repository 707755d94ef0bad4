/** Stand-in for a plain service. */
@NullMarked
package org.limpetring.standin.plain;

import org.jspecify.annotations.NullMarked;
